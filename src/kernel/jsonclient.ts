/**
 * An HTTP client for JSON calls to other processes and to endpoints.
 *
 * It uses Node's own client with keep-alive connections, because processes
 * with less than half a core make these calls several times a second.
 */
import http from 'node:http';
import {ByteCollector} from './bytecollector';
import {hasSmallPieces, InputPace} from './inputpace';
import {MessageInput} from './messageinput';

export interface JsonResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  /** Undefined if the body is empty or is not valid JSON. */
  readonly body: unknown;
}

const MAX_RESPONSE_BYTES = 4_194_304;

/**
 * `own` opens a connection for one call. A faulty server may send a response
 * twice; on a kept connection the second is taken for that to the next call.
 */
export type CallConnection = 'kept' | 'own';

export class JsonClient {
  private readonly agent = new http.Agent({keepAlive: true, noDelay: true});

  /** Without a pace, responses in small pieces are read as fast as they come. */
  constructor(private readonly pace?: InputPace) {}

  /** Rejects if no complete response arrives within `timeoutMs`. */
  call(
    method: 'GET' | 'POST',
    address: string,
    path: string,
    body: unknown,
    timeoutMs: number,
    connection: CallConnection = 'kept',
  ): Promise<JsonResponse> {
    const portSeparator = address.lastIndexOf(':');
    const host = address.slice(0, portSeparator);
    const port = Number(address.slice(portSeparator + 1));
    const requestBody = body === undefined ? undefined : JSON.stringify(body);
    return new Promise((resolve, reject) => {
      const request = http.request({
        agent: connection === 'own' ? false : this.agent,
        host,
        port,
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
      const timer = setTimeout(() => {
        request.destroy(new Error('request timed out'));
        this.closeIdleConnections(host, port);
      }, timeoutMs);
      request.on('error', error => {
        clearTimeout(timer);
        reject(error);
      });
      request.on('response', response => {
        const input = new MessageInput(response);
        const collected = new ByteCollector(MAX_RESPONSE_BYTES);
        let pieces = 0;
        response.on('data', (chunk: Buffer) => {
          pieces += 1;
          if (collected.length + chunk.length > MAX_RESPONSE_BYTES)
            return void request.destroy(
              new Error('response is larger than 4 MiB'),
            );
          collected.append(chunk);
          if (hasSmallPieces(pieces, collected.length)) this.pace?.pause(input);
        });
        response.on('close', () => this.pace?.end(input));
        response.on('error', error => {
          clearTimeout(timer);
          reject(error);
        });
        response.on('end', () => {
          clearTimeout(timer);
          const status = response.statusCode ?? 0;
          const {headers} = response;
          resolve({status, headers, body: parseJson(collected.take())});
        });
      });
      request.end(requestBody);
    });
  }

  close(): void {
    this.agent.destroy();
  }

  /**
   * What has silenced one connection may have silenced the idle ones too, and each
   * later call would take one of them and time out.
   */
  private closeIdleConnections(host: string, port: number): void {
    const idle = this.agent.freeSockets[this.agent.getName({host, port})] ?? [];
    for (const socket of [...idle]) socket.destroy();
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
