//! Macros that define newtypes with their common derives and conversions.

/// Defines a newtype over an unsigned integer with `Display`, `FromStr` and the derives that all
/// ids and sizes have in common. `$expected` describes a valid text in parse errors.
#[macro_export]
macro_rules! newtype {
    ($(#[$meta:meta])* $name:ident($inner:ty), $expected:literal) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Creates the value from a number.
            pub const fn new(value: $inner) -> Self {
                Self(value)
            }

            /// Returns the number.
            pub const fn get(self) -> $inner {
                self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::errors::Error;

            fn from_str(text: &str) -> $crate::errors::Result<Self> {
                text.parse().map(Self).map_err(|_| $crate::errors::Error::expected($expected, text))
            }
        }
    };
}

/// Defines a number whose text form includes a unit. The invoking module implements `Display` and
/// `FromStr`, which serialization uses.
#[macro_export]
macro_rules! quantity {
    ($(#[$meta:meta])* $name:ident($inner:ty)) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde_with::SerializeDisplay, serde_with::DeserializeFromStr,
        )]
        pub struct $name($inner);
    };
}

/// Defines a random 128-bit identifier with 32 hexadecimal digits as its text form.
#[macro_export]
macro_rules! random_id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde_with::SerializeDisplay, serde_with::DeserializeFromStr,
        )]
        pub struct $name(u128);

        impl $name {
            /// Creates the value from a number.
            pub const fn new(value: u128) -> Self {
                Self(value)
            }

            /// Returns the number.
            pub const fn get(self) -> u128 {
                self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::errors::Error;

            fn from_str(text: &str) -> $crate::errors::Result<Self> {
                if text.len() != 32 {
                    return Err($crate::errors::Error::expected("32 hexadecimal digits", text));
                }
                u128::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| $crate::errors::Error::expected("32 hexadecimal digits", text))
            }
        }
    };
}

/// Defines a name of lower-case letters, digits and hyphens that is validated on construction.
#[macro_export]
macro_rules! name {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde_with::SerializeDisplay, serde_with::DeserializeFromStr,
        )]
        pub struct $name(Box<str>);

        impl $name {
            /// Creates the name from a text; an invalid text is an error.
            pub fn new(text: &str) -> $crate::errors::Result<Self> {
                $crate::ids::check_name(text)?;
                Ok(Self(text.into()))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::errors::Error;

            fn from_str(text: &str) -> $crate::errors::Result<Self> {
                Self::new(text)
            }
        }
    };
}
