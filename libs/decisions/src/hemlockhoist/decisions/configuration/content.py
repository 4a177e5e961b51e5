"""Encoding of declarations for other hosts: in full or as changed sections."""

from hemlockhoist.messages.configuration import ConfigurationContent


class FullContent:
    """Encodes declarations in full.

    A subclass may encode only the changes if it knows the receiver's version, and falls
    back to the full declarations otherwise.
    """

    __slots__ = ()

    def pack(self, declarations, have_version, address):
        """Return the ``ConfigurationContent`` for a host that has ``have_version``."""
        return ConfigurationContent(
            address=address, version=declarations.version, declarations=declarations
        )

    def unpack(self, content, current):
        """Return the ``Declarations`` of a content message.

        Parameters
        ==========
        content : ConfigurationContent
        current : Declarations
            Declarations of this host.

        Returns
        =======
        Declarations or None
            None if the changes do not apply and the full declarations have to be
            requested.
        """
        return content.declarations
