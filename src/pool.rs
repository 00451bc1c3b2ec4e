//! Task of one pool: runs the dispatcher on the host that owns the role.
