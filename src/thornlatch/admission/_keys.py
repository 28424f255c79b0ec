"""Bearer keys and the organisations that they belong to."""

from collections.abc import Iterable

from thornlatch.configuration._inventory import Key, digest_key
from thornlatch.exceptions import ErrorKind, RequestRefused


class KeyTable:
    """Maps bearer keys, known by their digests alone, to organisations."""

    def __init__(self) -> None:
        self.organisations: dict[str, str] = {}
        self.withdrawn: set[str] = set()
        self.offset = -1

    def set_keys(self, keys: Iterable[Key], *, offset: int) -> set[str]:
        """Put the keys of a configuration in force.

        Parameters
        ----------
        keys : iterable of Key
        offset : int
            Log offset of the configuration; a lower one than in force is ignored.

        Returns
        -------
        set of str
            Digests that were withdrawn by it; their open streams are to stop.
        """
        if offset < self.offset:
            return set()
        self.offset = offset
        organisations = {key.digest: key.organisation for key in keys}
        withdrawn = self.organisations.keys() - organisations.keys()
        self.withdrawn = (self.withdrawn | withdrawn) - organisations.keys()
        self.organisations = organisations
        return set(withdrawn)

    def get_organisation(self, bearer: str) -> str:
        """Return the organisation of a bearer key.

        Parameters
        ----------
        bearer : str

        Returns
        -------
        str

        Raises
        ------
        RequestRefused
            If the key is unknown or was withdrawn.
        """
        digest = digest_key(bearer)
        organisation = self.organisations.get(digest)
        if organisation is not None:
            return organisation
        if digest in self.withdrawn:
            raise RequestRefused(ErrorKind.KEY_WITHDRAWN, "the key was withdrawn")
        raise RequestRefused(ErrorKind.UNKNOWN_KEY, "the key is unknown")
