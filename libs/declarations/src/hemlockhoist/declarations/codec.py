"""Encoding of declarations for a table row, and decoding."""

import msgspec

from hemlockhoist.base import DeclarationError
from hemlockhoist.declarations.effective import canonical
from hemlockhoist.declarations.model import Declarations

_ENCODER = msgspec.json.Encoder(order="deterministic")
_DECODER = msgspec.json.Decoder(Declarations)


def encode_declarations(declarations):
    """Return declarations as canonical JSON, so that equal content gives equal bytes.

    Parameters
    ==========
    declarations : Declarations

    Returns
    =======
    bytes
    """
    return _ENCODER.encode(canonical(declarations))


def decode_declarations(data):
    """Return the declarations in a table row or in the body of a request.

    Unknown fields of a later release are ignored, so that hosts of adjacent releases
    can read each other's rows.

    Raises
    ======
    DeclarationError
        When the bytes are not valid declarations.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DeclarationError(f"invalid declarations: {error}") from error
