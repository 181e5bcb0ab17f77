//! The router daemon: adapters around the facade.

fn main() {}
