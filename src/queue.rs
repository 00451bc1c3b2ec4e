//! Queue of one pool: tiers, fair shares between customers and a floor per class.
