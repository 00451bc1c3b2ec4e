//! Leases with fencing numbers: who holds one, and until when for certain.
