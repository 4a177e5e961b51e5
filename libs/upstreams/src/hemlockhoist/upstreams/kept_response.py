"""Responses on connections that carried another request before."""

from hemlockhoist.base import DispatchError, ResultCode
from hemlockhoist.upstreams.response import UpstreamResponse


class KeptResponse(UpstreamResponse):
    """Response whose end is compared with all bytes that arrived.

    A late answer to an earlier request may come in the middle of its body, and is taken
    for a part of the body where the framing allows that. The bytes behind the end show
    it. The body is then broken, as the request may be sent again.

    Parameters
    ==========
    response : aiohttp.ClientResponse
    request_id_header : str
    use : ConnectionUse
    """

    __slots__ = ("_use",)

    def __init__(self, response, request_id_header, use):
        super().__init__(response, request_id_header, is_reused=True)
        self._use = use

    def _check_length(self, body_bytes):
        super()._check_length(body_bytes)
        if self._use.has_foreign_end:
            text = "bytes of another answer within the body or behind it"
            raise DispatchError(text, ResultCode.UPSTREAM_BROKE_OFF)
