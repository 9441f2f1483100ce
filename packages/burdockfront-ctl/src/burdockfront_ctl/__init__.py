"""The operators' query and command language.

Ask (`show`, `why`, `timeline`, `history`), command (`set policy`, `drain`),
and check afterwards (`verify change`). `language` parses, `queries` and
`commands` talk to nodes, `render` shows.
"""
