//! Sessions of real entry processes with stand-ins for the users' store and backend servers.

mod caller_tests;
mod golden_tests;
mod order_tests;
mod process_tests;
mod store_tests;
mod world;
