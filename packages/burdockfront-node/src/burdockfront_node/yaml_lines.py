"""Finds the line numbers of values in a YAML text."""

import yaml

Path = tuple[int | str, ...]


class YamlLines:
    """Line numbers of the values of one YAML text.

    Args:
        text: Valid YAML.
    """

    def __init__(self, text: str):
        self._root = yaml.compose(text, Loader=yaml.SafeLoader)

    def line_of(self, path: Path) -> int:
        """Returns the line of a value, counted from 1.

        For an absent value, returns the line of the innermost enclosing value
        that is present.

        Args:
            path: Keys and positions, outermost first.
        """
        node = self._root
        line = node.start_mark.line if node is not None else 0
        for part in path:
            found = _inner(node, part)
            if found is None:
                break
            line, node = found
        return line + 1


def _inner(
    node: yaml.Node | None, part: int | str
) -> tuple[int, yaml.Node] | None:
    """Returns the line of a key or position, counted from 0, and its value.

    None if the node has no such key or position.
    """
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == str(part):
                return key.start_mark.line, value
    if isinstance(node, yaml.SequenceNode) and isinstance(part, int):
        values = node.value[part : part + 1]
        return (values[0].start_mark.line, values[0]) if values else None
    return None
