//! Guards against a lasting task that ends for good, and a process that ends, by one panic.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use actix_rt::System;

use super::run_supervised;

#[test]
fn a_task_that_panicked_starts_again() {
    let starts = Rc::new(Cell::new(0));
    let reports = Rc::new(RefCell::new(Vec::new()));
    let counted = starts.clone();
    let task = move || {
        let starts = counted.clone();
        async move {
            starts.set(starts.get() + 1);
            assert!(starts.get() > 2, "start {}", starts.get());
        }
    };
    let reported = reports.clone();
    let report = move |message: &str| reported.borrow_mut().push(message.to_string());
    System::new().block_on(run_supervised(task, report));
    assert_eq!(starts.get(), 3);
    assert_eq!(*reports.borrow(), ["start 1", "start 2"]);
}
