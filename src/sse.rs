//! Scanning of server-sent events and completion chunks.
