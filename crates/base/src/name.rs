//! Names of the things that operators configure.
//!
//! Each kind of name has a type of its own, so that a zone can't be passed where a target is meant. A name is a
//! shared immutable string: cloning one costs a reference count, never a copy.

use std::{borrow::Borrow, fmt, sync::Arc};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name holding `text`.
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// The name of a client account.
    AccountName
}
name_type! {
    /// The public name of a key; the secret itself is never stored.
    KeyName
}
name_type! {
    /// The name of a model as callers write it in a request.
    ModelName
}
name_type! {
    /// The name of a region.
    RegionName
}
name_type! {
    /// The name of a route.
    RouteName
}
name_type! {
    /// The name of a service: a set of targets that answer the same requests.
    ServiceName
}
name_type! {
    /// The name of a target: one worker of a service.
    TargetName
}
name_type! {
    /// The name of a VM that runs a router.
    VmName
}
name_type! {
    /// The name of an availability zone.
    ZoneName
}
