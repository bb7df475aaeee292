//! Guards that can be taken out.

/// Declares a model's guards, all of which are switches.
macro_rules! guards {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// The guards of the protocol. Each can be taken out.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub struct Guards {
            $($(#[$doc])* pub $name: bool,)*
        }

        impl Guards {
            /// The whole protocol.
            pub const ALL: Guards = Guards { $($name: true,)* };
        }
    };
}

pub(crate) use guards;
