//! Connections between hosts: the server and the clients of the peer service.
