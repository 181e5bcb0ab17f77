//! The operators' command-line client.

fn main() {}
