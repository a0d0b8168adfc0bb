//! Retry budgets and endpoint back-off, which keep retries and failing endpoints from amplifying
//! load.
//!
//! ```
//! use cicadalock_core::retry::RetryBudget;
//!
//! let mut budget = RetryBudget::builder().ratio_percent(10).reserve(1).build();
//! assert!(budget.try_spend());
//! assert!(!budget.try_spend());
//! for _ in 0..10 {
//!     budget.deposit();
//! }
//! assert!(budget.try_spend());
//! ```

mod backoff;
mod budget;
mod retry_window;

pub use backoff::EndpointBackoff;
pub use budget::{BudgetBuilder, RetryBudget};
pub use retry_window::RetryWindow;
