//! One attribute for the sets of derives that recur in this workspace.
//!
//! `#[derives(key)]` stands for what a small `Copy` key needs, `#[derives(name)]` for an owned
//! identifier, `#[derives(data)]` for a plain value, `#[derives(wire)]` for a value that is
//! also serialised. Naming the set keeps the lists alike and short.
//!
//! ```
//! use corianderstand_derives::derives;
//!
//! #[derives(key)]
//! struct Slot(u32);
//!
//! assert!(Slot(1) < Slot(2));
//! ```

use proc_macro::TokenStream;
use quote::quote;

/// Adds a named set of derives: `key`, `name`, `data` or `wire`.
///
/// # Errors
///
/// An unknown set is a compile error that lists the known ones.
#[proc_macro_attribute]
pub fn derives(args: TokenStream, item: TokenStream) -> TokenStream {
    let item = parse_item(item);
    let set = args.to_string();
    let list = match set.as_str() {
        "key" => quote!(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug),
        "name" => quote!(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug),
        "data" => quote!(Clone, PartialEq, Debug),
        "wire" => quote!(Clone, PartialEq, Debug, ::serde::Serialize, ::serde::Deserialize),
        _ => {
            return quote!(compile_error!("derives: expected one of key, name, data, wire");)
                .into();
        }
    };
    quote!(#[derive(#list)] #item).into()
}

fn parse_item(item: TokenStream) -> syn::Item {
    syn::parse(item).expect("the attribute is applied to an item")
}
