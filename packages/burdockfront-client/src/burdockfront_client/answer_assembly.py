"""Assembles the answers of a server from its bytes, within limits.

A server in trouble may send bytes without end. All that it can send in place of
an answer is limited: the head, the body, what frames the body, and the number
of answers that are skipped. The time limit of a request alone would not do,
since reading such bytes occupies the event loop until then.

Answers are parsed by `httptools`.
"""

from collections.abc import Callable

import httptools

from burdockfront_client import answer_memory
from burdockfront_client import header_names
from burdockfront_client import http_messages

MAX_HEADERS_BYTES = 65_536
# Informational answers, and answers that belong to another request, that may
# precede the answer to a request.
MAX_SKIPPED_ANSWERS = 16
# Chunk sizes, chunk extensions and trailers may take up as much as the headers,
# and one byte for this many bytes of the body.
_BODY_BYTES_PER_FRAMING_BYTE = 8
_FIRST_FINAL_STATUS = 200
_NO_BODY = (204, 304)


class _AbandonedError(Exception):
    """Stops the parser within a segment."""


class AnswerAssembler:
    """Assembles the answers that arrive on one connection.

    Args:
        on_answer: Called with each complete final answer; returns whether it is
            the one that is awaited.
        on_failure: Called with what the server did if no answer can follow, and
            whether the answer was too large.
        memory: Bounds the answers that all connections are receiving; None: no
            bound but that on each answer.

    Attributes:
        keeps_alive: Whether another request may follow, by the answers so far.
    """

    def __init__(
        self,
        on_answer: Callable[[http_messages.RawAnswer], bool],
        on_failure: Callable[[str, bool], None],
        memory: answer_memory.AnswerMemory | None,
    ) -> None:
        self.keeps_alive = True
        self._on_answer = on_answer
        self._on_failure = on_failure
        self._memory = memory
        self._parser = httptools.HttpResponseParser(self)
        self._abandoned = False
        self._is_answered = False
        self._skipped_answers = 0
        # Bytes received until the head was complete, or slightly more.
        self._head_bytes = 0
        # Small chunks would take many times their size in a list.
        self._body = bytearray()
        self._limit_bytes = 0
        # Sizes of the body at which it is first, and next, compared with the
        # limits.
        self._first_check_bytes = 0
        self._checked_up_to_bytes = 0
        # Whether `memory` counts the body.
        self._is_counted = False
        self._begin_message()

    # ---- used by the connection ------------------------------------------

    def begin(self, limit_bytes: int) -> None:
        """Prepares for the answer to a request.

        Args:
            limit_bytes: Maximum size of the answer's body.
        """
        self._limit_bytes = limit_bytes
        self._first_check_bytes = answer_memory.UNCOUNTED_BYTES
        if limit_bytes < answer_memory.UNCOUNTED_BYTES:
            self._first_check_bytes = limit_bytes
        self._head_bytes = 0
        self._skipped_answers = 0
        self._begin_message()

    def feed(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._headers_done:
            self._bytes_after_head += len(data)
        else:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._on_failure(f"sent invalid HTTP ({error})", False)
        except httptools.HttpParserUpgrade:
            self._on_failure("switched to another protocol", False)
        if not self._headers_done:
            if self._head_bytes > MAX_HEADERS_BYTES:
                self._fail_by_head_size()
        elif self._bytes_after_head > self._body_bytes:
            self._limit_framing()

    def end(self) -> None:
        """Completes an answer that ends with its connection."""
        if not self._headers_done or self._message_done:
            return
        names = {name for name, _ in self._headers}
        framed = {"content-length", "transfer-encoding"} & names
        if not framed and self._status not in _NO_BODY:
            self.on_message_complete()

    def incomplete_answer(self) -> http_messages.RawAnswer | None:
        """Returns an answer with a complete head, and the body so far.

        None if no answer has begun, or if its head is incomplete.
        """
        if not self._headers_done or self._message_done:
            return None
        return self._answer()

    def abandon(self) -> None:
        """Drops an incomplete answer, and stops the parser."""
        self._abandoned = True
        self.release_body()

    def release_body(self) -> None:
        """Drops a body that `memory` counts."""
        if self._is_counted:
            assert self._memory is not None
            self._is_counted = False
            self._memory.release(self)
            del self._body[:]

    def give_up_answer(self, held_bytes: int, capacity_bytes: int) -> None:
        """See `answer_memory.Receiver`."""
        self._is_counted = False
        del self._body[:]
        self._on_failure(
            f"sent {held_bytes} bytes of a body, while all incomplete answers "
            f"together exceeded {capacity_bytes} bytes,",
            True,
        )

    # ---- callbacks of the parser -----------------------------------------

    def on_message_begin(self) -> None:
        """Starts an answer."""
        if self._abandoned:
            raise _AbandonedError
        if self._message_done:
            # A second answer follows the first one.
            self.keeps_alive = False
        if self._headers_done:
            self._begin_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Appends a header; trailer fields, after the body, are dropped.

        They must not pass for headers (RFC 9110, 6.5.1), which say whether the
        request has run.
        """
        if self._headers_done:
            return
        lowered = header_names.LOWERED[name]
        self._headers.append((lowered, value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Marks the headers as complete and stores the status."""
        self._headers_done = True
        if self._head_bytes > MAX_HEADERS_BYTES:
            # Bytes of the body may have arrived with the head.
            size = sum(len(name) + len(value) for name, value in self._headers)
            if size > MAX_HEADERS_BYTES:
                self._fail_by_head_size()
        self._head_bytes = 0
        self._status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body, within the size limit."""
        if self._abandoned:
            raise _AbandonedError
        self._body += body
        self._body_bytes += len(body)
        if self._body_bytes > self._checked_up_to_bytes:
            self._limit_body()

    def on_message_complete(self) -> None:
        """Ends an answer."""
        if self._abandoned:
            return
        if self._status < _FIRST_FINAL_STATUS:
            # An informational answer such as 100 Continue; the final answer
            # follows.
            self._skip_answer()
            return
        self._message_done = True
        if not self._parser.should_keep_alive():
            self.keeps_alive = False
        answer = self._answer()
        self._is_answered = True
        if not self._on_answer(answer):
            self._skip_answer()

    # ---- limits ----------------------------------------------------------

    def _begin_message(self) -> None:
        if self._is_counted:
            self.release_body()
        del self._body[:]
        self._status = 0
        self._headers: list[tuple[str, str]] = []
        self._headers_done = False
        self._body_bytes = 0
        self._checked_up_to_bytes = self._first_check_bytes
        # Bytes of segments received after the head was complete.
        self._bytes_after_head = 0
        self._message_done = False

    def _answer(self) -> http_messages.RawAnswer:
        return http_messages.RawAnswer(
            self._status,
            tuple(self._headers),
            bytes(self._body),
            not self._is_answered,
        )

    def _skip_answer(self) -> None:
        """Counts an answer that is not the awaited one."""
        self._skipped_answers += 1
        if self._skipped_answers > MAX_SKIPPED_ANSWERS:
            self._on_failure(
                f"sent more than {MAX_SKIPPED_ANSWERS} other answers", False
            )

    def _limit_body(self) -> None:
        """Fails an answer whose body is too large, and counts a large one."""
        if self._body_bytes > self._limit_bytes:
            self._on_failure(
                f"sent a body of more than {self._limit_bytes} bytes", True
            )
            return
        self._checked_up_to_bytes = min(
            self._body_bytes + answer_memory.UNCOUNTED_BYTES, self._limit_bytes
        )
        if self._memory is not None:
            self._is_counted = True
            self._memory.update(self, self._body_bytes)

    def _limit_framing(self) -> None:
        """Fails an answer that consists of much more than its body."""
        framing_bytes = self._bytes_after_head - self._body_bytes
        allowed_bytes = self._body_bytes // _BODY_BYTES_PER_FRAMING_BYTE
        if framing_bytes > MAX_HEADERS_BYTES + allowed_bytes:
            self._on_failure(f"sent {framing_bytes} bytes around a body", False)

    def _fail_by_head_size(self) -> None:
        self._on_failure(
            f"sent more than {MAX_HEADERS_BYTES} bytes of headers", False
        )
