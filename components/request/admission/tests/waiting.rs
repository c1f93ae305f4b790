//! Tests of the groups of waiting requests. Load: thousands of accounts that wait for one model, one
//! of them with most of the requests.

use admission::waiting::{WaitingGroup, sum_groups};

fn group(rank: u8, account: u32, count: u32) -> WaitingGroup {
    WaitingGroup { rank, account: Some(account), accounts: 1, count }
}

/// Guards against a status message that grows with the number of accounts, and against a hot account
/// that hides among the others.
#[test]
fn ten_thousand_waiting_accounts_fit_into_a_few_groups() {
    let accounts = (0..10_000).map(|n| group((n % 3) as u8, n, if n == 77 { 900 } else { 1 }));
    let groups = sum_groups(accounts);
    assert!(groups.len() <= 9, "{groups:?}");
    let bytes = postcard::to_allocvec(&groups).unwrap().len();
    assert!(bytes <= 100, "{bytes} bytes");
    assert_eq!(groups[0], group(2, 77, 900));
    assert_eq!(groups.iter().map(|group| group.count).sum::<u32>(), 10_899);
    assert_eq!(groups.iter().map(|group| group.accounts).sum::<u32>(), 10_000);
}

/// Guards against an account that counts once for each instance at which it waits.
#[test]
fn an_account_at_many_instances_is_one_group() {
    let at_each = || [group(0, 1, 3), group(1, 1, 1), group(1, 2, 2)];
    let rest = WaitingGroup { account: None, accounts: 7, ..group(1, 0, 9) };
    let groups = sum_groups((0..65).flat_map(|_| at_each()).chain([rest, rest]));
    let expected = [group(0, 1, 195), group(1, 2, 130), group(1, 1, 65)];
    assert_eq!(groups[..3], expected);
    assert_eq!(groups[3], WaitingGroup { count: 18, ..rest });
}
