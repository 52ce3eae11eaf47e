//! The command line of the lab.

fn main() {}
