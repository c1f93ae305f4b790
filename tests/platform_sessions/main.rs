//! Integration tests of entry processes against test doubles of the users' store and backend
//! servers.

mod account_tests;
mod caller_tests;
mod cluster;
mod cut_tests;
mod deadly_tests;
mod endless_tests;
mod golden_tests;
mod long_prompt_tests;
mod notice_tests;
mod order_tests;
mod process_tests;
mod quota_tests;
mod slow_caller_tests;
mod store_tests;
mod waiting_order_tests;
