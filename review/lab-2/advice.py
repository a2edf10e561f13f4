"""Stand-in of the placement advice service.

Usage: python3 advice.py HOST PORT SETTINGS, a JSON file with: allowed (ids of the workers
that may run any step), decide_ms, period_ms, valid_ms, record (a file to which each call
is appended as a line of JSON).
"""

import asyncio
import json
import sys
import time
from pathlib import Path

from wire import serve


async def main(host, port, path):
    turn = asyncio.Lock()

    async def handle(method, target, headers, body):
        settings = json.loads(Path(path).read_text())
        if target != '/v1/advise' or len(body['workers']) > 100:
            return 400, {}
        async with turn:
            count = len(body['workers'])
            wait_ms = settings['decide_ms'] + settings['period_ms'] * count
            await asyncio.sleep(wait_ms / 1000)
        rows = [
            [worker, f'ticket-{body["step"]}-{worker}']
            for worker in body['workers']
            if worker in settings['allowed']
        ]
        row = {
            'at': time.time(),
            'worker': 'advice',
            'event': 'advised',
            'step': body['step'],
            'asked': count,
            'allowed': ','.join(row[0] for row in rows),
        }
        with Path(settings['record']).open('a') as record:
            record.write(json.dumps(row) + '\n')
        return 200, {'allowed': rows, 'valid_ms': settings['valid_ms']}

    await serve(host, port, handle)


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), sys.argv[3]))
