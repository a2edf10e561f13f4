"""HTTP/1.1 with JSON bodies over asyncio streams, for the stand-ins of the cases."""

import asyncio
import json


async def serve(host, port, handle):
    """Serves requests until cancelled.

    `handle(method, target, headers, body)` returns the status and the body, or None to
    close the connection without an answer.
    """

    async def connection(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin-1').split('\r\n')
                method, target, _ = lines[0].split(' ', 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(':')
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get('content-length') or 0)
                raw = await reader.readexactly(length) if length else b''
                body = json.loads(raw) if raw else None
                answer = await handle(method, target, headers, body)
                if answer is None:
                    break
                content = json.dumps(answer[1]).encode()
                writer.write(
                    f'HTTP/1.1 {answer[0]} X\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(content)}\r\n\r\n'.encode()
                    + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, host, port, limit=1 << 24)
    async with server:
        await server.serve_forever()


async def call(address, method, target, body=None, headers=None, timeout=3.0):
    """Sends one request on a connection of its own.

    Returns the status and the decoded body, or (0, reason) if there was no answer.
    """
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            content = b'' if body is None else json.dumps(body).encode()
            lines = [f'{method} {target} HTTP/1.1', f'Content-Length: {len(content)}']
            lines += [f'{name}: {value}' for name, value in (headers or {}).items()]
            if not headers or 'Host' not in headers:
                lines.append(f'Host: {address}')
            lines += ['Content-Type: application/json', 'Connection: close', '', '']
            writer.write('\r\n'.join(lines).encode() + content)
            head = await reader.readuntil(b'\r\n\r\n')
            status = int(head.split(b' ', 2)[1])
            length = 0
            for line in head.decode('latin-1').split('\r\n')[1:]:
                name, _, value = line.partition(':')
                if name.strip().lower() == 'content-length':
                    length = int(value)
            raw = await reader.readexactly(length)
            return status, (json.loads(raw) if raw else None)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        return 0, repr(error)
    finally:
        if writer is not None:
            writer.close()
