"""Logging as JSON lines on standard error."""

import logging
import sys

from pythonjsonlogger import json as jsonlogger


def set_up(level: str, node_id: str) -> None:
    """Configures logging as JSON lines that carry the node's id."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        jsonlogger.JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "at", "levelname": "level"},
            static_fields={"node": node_id},
        )
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("uvicorn").setLevel(logging.WARNING)
