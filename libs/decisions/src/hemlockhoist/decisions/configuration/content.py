"""How declarations travel from host to host: whole, or as changed sections."""

from hemlockhoist.messages.configuration import ConfigurationContent


class FullContent:
    """Ships whole declarations.

    A subclass may ship changes instead, where it knows the receiver's version; it falls
    back to the whole where it does not.
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
            What this host has.

        Returns
        =======
        Declarations or None
            None when the changes do not apply: the whole has to be asked for.
        """
        return content.declarations
