"""Responses whose header values may be no UTF-8."""

from aiohttp import web


class OpaqueHeaders:
    """Writes header values byte by byte as they were received.

    Failure prevented: the HTTP library decodes bytes that are no UTF-8 as surrogates. Of
    its two writers, one leaves them out, and the other ends the connection.
    """

    async def _write_headers(self):
        fields = "".join(f"{k}: {v}\r\n" for k, v in self.headers.items())
        if _is_utf_8(fields):
            await super()._write_headers()
            return
        version = self._req.version
        line = f"HTTP/{version.major}.{version.minor} {self.status} {self.reason}\r\n"
        head = (line + fields + "\r\n").encode(errors="surrogateescape")
        writer = self._payload_writer
        # The library has no public interface for a head in bytes.
        writer._headers_buf, writer._headers_written = head, False
        if self._send_headers_immediately:
            writer.send_headers()


class StreamedResponse(OpaqueHeaders, web.StreamResponse):
    """A response whose body is written in parts."""


def _is_utf_8(text):
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
