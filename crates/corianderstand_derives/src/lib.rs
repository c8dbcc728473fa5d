//! An attribute for the sets of derives used in this workspace.
//!
//! `#[derives(key)]` is for small `Copy` keys, `#[derives(name)]` for owned identifiers,
//! `#[derives(data)]` for plain values and `#[derives(wire)]` for values that are also serialised.
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
