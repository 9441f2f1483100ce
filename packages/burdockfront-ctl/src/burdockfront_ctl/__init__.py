"""The operators' query and command language.

Queries are `show`, `why`, `timeline` and `history`; commands are `set policy`,
`drain`, `undrain` and `release`; `verify change` checks that a change is in
effect on all nodes. `language` parses the text, `queries` and `commands` send
requests to nodes, and `render` formats the results.
"""
