//! Names of the items that operators configure.
//!
//! Each kind of name has its own type, so that a zone name can't be passed in place of a target name. A name is a
//! shared immutable string: a clone increments a reference count and copies no text.

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
            /// Returns the name with the given text.
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
    /// The name of a build: one version of a target's software. Builds are compared as text and have no order.
    BuildName
}
name_type! {
    /// The public name of an API key; the secret itself is never stored.
    KeyName
}
name_type! {
    /// The name of a model, as it appears in requests.
    ModelName
}
name_type! {
    /// The name of a region: a group of availability zones.
    RegionName
}
name_type! {
    /// The name of a route: the rule that maps requests of a path to a service.
    RouteName
}
name_type! {
    /// The name of a service: a group of targets that serve the same requests.
    ServiceName
}
name_type! {
    /// The name of a target: a worker of a service.
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
