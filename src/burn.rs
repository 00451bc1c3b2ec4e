//! Service-level burn per class and customer, joined over hosts.
