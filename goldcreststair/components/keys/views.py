"""Operators' HTTP routes for keys."""

import orjson

from goldcreststair.components.configuration.document import is_key_hash
from goldcreststair.components.keys.withdrawal import WITHDRAWALS
from goldcreststair.components.operator_api.views import OperatorHandler


class WithdrawHandler(OperatorHandler):
    """Withdraws the key in the body `{"key_hash"}`; responds 200 if durable, else 202."""

    async def post(self) -> None:
        """Withdraw the key at once, then durably; responds 422 if `key_hash` is no hash."""
        try:
            key_hash = orjson.loads(self.request.body)["key_hash"]
        except (ValueError, KeyError, TypeError):
            key_hash = None
        if not isinstance(key_hash, str) or not is_key_hash(key_hash):
            self.set_status(422)
            message = "must be a SHA-256 in lower-case hex, never the key itself"
            self.finish({"error": {"code": "invalid", "field": "key_hash", "message": message}})
            return
        done = await self.core.get(WITHDRAWALS).async_withdraw(key_hash)
        self.set_status(200 if done.durable else 202)
        self.finish({"in_force": True, "durable": done.durable, "version": done.version})
