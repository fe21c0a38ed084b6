//! Waits that end early when what they rest on is gone.

use std::cell::Cell;

use bluebellferry_runtime::guard;
use tokio::sync::watch;

#[tokio::test]
async fn a_wait_that_is_over_at_once_asks_nothing() {
    let is_asked = Cell::new(false);
    let confirm = || {
        is_asked.set(true);
        Err("gone")
    };
    let subscribe = || unreachable!("there is nothing to wait for");
    let output = guard::wait_while_confirmed(subscribe, confirm, async { 7 }).await;
    assert_eq!(output, Ok(7));
    assert!(!is_asked.get());
}

#[tokio::test]
async fn a_wait_ends_at_the_first_change_that_is_not_confirmed() {
    let (sender, receiver) = watch::channel(0);
    let confirm = || {
        if *sender.borrow() < 2 {
            Ok(())
        } else {
            Err("gone")
        }
    };
    let waiting =
        guard::wait_while_confirmed(|| receiver.clone(), confirm, std::future::pending::<()>());
    let changing = async {
        for count in 1..3 {
            tokio::task::yield_now().await;
            sender.send_replace(count);
        }
    };
    let (output, ()) = tokio::join!(waiting, changing);
    assert_eq!(output, Err("gone"));
}

#[tokio::test]
async fn a_wait_goes_on_when_no_more_changes_can_come() {
    let (sender, receiver) = watch::channel(0);
    let (finish, finished) = tokio::sync::oneshot::channel();
    let confirm = || Ok::<(), &str>(());
    let waiting = guard::wait_while_confirmed(|| receiver.clone(), confirm, finished);
    let finishing = async {
        drop(sender);
        tokio::task::yield_now().await;
        finish.send(7)
    };
    let (output, sent) = tokio::join!(waiting, finishing);
    assert_eq!((output, sent), (Ok(Ok(7)), Ok(())));
}
