/**
 * Calls with JSON bodies to processes and endpoints nearby.
 *
 * Node's own client on kept connections: these calls are made several times a
 * second by processes with less than half a core.
 */
import http from 'node:http';

export interface JsonResponse {
  readonly status: number;
  /** Undefined where the answer has no readable JSON body. */
  readonly body: unknown;
}

const MAX_RESPONSE_BYTES = 4_194_304;

export class JsonCaller {
  private readonly agent = new http.Agent({keepAlive: true, noDelay: true});

  /** Rejects where no whole answer arrives in `timeoutMs`. */
  call(
    method: 'GET' | 'POST',
    address: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<JsonResponse> {
    const portSeparator = address.lastIndexOf(':');
    const requestBody = body === undefined ? undefined : JSON.stringify(body);
    return new Promise((resolve, reject) => {
      const request = http.request({
        agent: this.agent,
        host: address.slice(0, portSeparator),
        port: Number(address.slice(portSeparator + 1)),
        method,
        path,
        headers:
          requestBody === undefined
            ? {}
            : {
                'Content-Type': 'application/json',
                'Content-Length': Buffer.byteLength(requestBody),
              },
      });
      const timer = setTimeout(
        () => request.destroy(new Error('no answer in time')),
        timeoutMs,
      );
      request.on('error', error => {
        clearTimeout(timer);
        reject(error);
      });
      request.on('response', response => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        response.on('data', (chunk: Buffer) => {
          bytes += chunk.length;
          if (bytes > MAX_RESPONSE_BYTES)
            request.destroy(new Error('too long'));
          else chunks.push(chunk);
        });
        response.on('error', error => {
          clearTimeout(timer);
          reject(error);
        });
        response.on('end', () => {
          clearTimeout(timer);
          const status = response.statusCode ?? 0;
          resolve({status, body: parseJson(Buffer.concat(chunks))});
        });
      });
      request.end(requestBody);
    });
  }

  close(): void {
    this.agent.destroy();
  }
}

function parseJson(bytes: Buffer): unknown {
  if (bytes.length === 0) return undefined;
  try {
    return JSON.parse(bytes.toString());
  } catch {
    return undefined;
  }
}
