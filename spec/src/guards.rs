//! Guards of a protocol that can be disabled one by one.

/// Declares a model's `Guards`: one `bool` for each guard, with its doc comment.
macro_rules! guards {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// The guards of the protocol; `false` disables one.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub struct Guards {
            $($(#[$doc])* pub $name: bool,)*
        }

        impl Guards {
            /// The complete protocol.
            pub const ALL: Guards = Guards { $($name: true,)* };
        }
    };
}

pub(crate) use guards;
