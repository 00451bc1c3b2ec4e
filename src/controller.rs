//! Task of the zone controller: holds the zone's lease and orders upstreams.
