//! Integration tests of entry processes against test doubles of the users' store and backend
//! servers.

mod caller_tests;
mod cluster;
mod cut_tests;
mod deadly_tests;
mod endless_tests;
mod golden_tests;
mod notice_tests;
mod order_tests;
mod process_tests;
mod store_tests;
