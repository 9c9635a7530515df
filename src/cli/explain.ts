/**
 * Asks a running entry where it would send a request now, and prints the answer.
 * Nothing is sent to an endpoint.
 */
import * as z from 'zod';
import {
  CandidateExplanation,
  DelayRange,
  EXPLAIN_PATH,
  Explanation,
  EXPLANATION_FORMAT,
  ServiceExplanation,
} from '../gateway/explanation';
import {CommandError, EXIT_CODES} from '../kernel/errors';
import {JsonClient, JsonResponse} from '../kernel/jsonclient';
import {version} from '../kernel/version';

export interface ExplainOptions {
  readonly host: string;
  readonly path: string;
  readonly account?: string;
  readonly deadlineMs?: number;
  readonly promptTokens?: number;
  readonly parts?: string;
  readonly json?: boolean;
}

const TIMEOUT_MS = 3_000;

/** Tries while the entry is busy with other explanations, and their distance. */
const MAX_TRIES = 5;
const BUSY_DELAY_MS = 200;

const failureSchema = z.object({error: z.string()});
const formatSchema = z.object({format: z.number(), version: z.string()});

/**
 * Prints the explanation of the entry whose metrics are served at `address`.
 * Throws a `CommandError` if the entry does not answer or is of another version,
 * and if the host and path have no route or the account is unknown.
 */
export async function explainRequest(
  address: string,
  options: ExplainOptions,
  write: (line: string) => void,
): Promise<void> {
  const explanation = await fetchExplanation(address, options);
  if (options.json) write(JSON.stringify(explanation));
  if (explanation.reason === 'no such route') {
    throw failure(
      `${explanation.entry}: no route for ${options.host}${options.path} in ` +
        `${configurationText(explanation)}; such a request gets 404`,
    );
  }
  if (!options.json) write(renderExplanation(explanation));
}

async function fetchExplanation(
  address: string,
  options: ExplainOptions,
): Promise<Explanation> {
  const path = `${EXPLAIN_PATH}?${queryOf(options).toString()}`;
  const client = new JsonClient();
  try {
    for (let tries = 1; ; tries++) {
      const response = await call(client, address, path);
      if (response.status !== 429 || tries === MAX_TRIES)
        return readExplanation(address, response);
      await new Promise(done => setTimeout(done, BUSY_DELAY_MS));
    }
  } finally {
    client.close();
  }
}

async function call(
  client: JsonClient,
  address: string,
  path: string,
): Promise<JsonResponse> {
  try {
    return await client.call('GET', address, path, undefined, TIMEOUT_MS);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw failure(
      `no entry answers at ${address} (${reason}); check that it runs, and ` +
        'the settings file or --entry',
    );
  }
}

function readExplanation(
  address: string,
  {status, body}: JsonResponse,
): Explanation {
  const failed = failureSchema.safeParse(body);
  if (status !== 200 && failed.success) {
    const message = `the entry at ${address} answers: ${failed.data.error}`;
    if (status === 400 || status === 414)
      throw new CommandError(message, EXIT_CODES.usage);
    throw failure(message);
  }
  const read = formatSchema.safeParse(body);
  if (status !== 200 || !read.success) {
    throw failure(
      `the process at ${address} is no entry, or of a version without ` +
        `explanations; this command is of version ${version}`,
    );
  }
  if (read.data.format !== EXPLANATION_FORMAT) {
    throw failure(
      `the entry at ${address} is of version ${read.data.version} with ` +
        `explanations of format ${read.data.format}; this command is of ` +
        `version ${version} and reads format ${EXPLANATION_FORMAT}`,
    );
  }
  return body as Explanation;
}

function failure(message: string): CommandError {
  return new CommandError(message, EXIT_CODES.failed);
}

function queryOf(options: ExplainOptions): URLSearchParams {
  const {host, path, account, deadlineMs, promptTokens, parts} = options;
  const query = new URLSearchParams({host, path});
  if (account !== undefined) query.set('account', account);
  if (deadlineMs !== undefined) query.set('deadline-ms', String(deadlineMs));
  if (promptTokens !== undefined)
    query.set('prompt-tokens', String(promptTokens));
  if (parts !== undefined) query.set('parts', parts);
  return query;
}

/** The explanation as text. */
export function renderExplanation(explanation: Explanation): string {
  const {entry, zone, route} = explanation;
  const lines = [
    `${entry} in ${zone}, version ${explanation.version}, ` +
      configurationText(explanation),
  ];
  if (route) {
    lines.push(
      `route ${route.name} (${route.host}${route.prefix}), ${route.kind}, ` +
        `priority ${route.priority}, time limit ${route.timeoutMs} ms`,
    );
  }
  if (explanation.decision === 'refuse') {
    const {status, reason, retryAfterMs} = explanation;
    const retry =
      retryAfterMs === undefined ? '' : `, Retry-After ${retryAfterMs} ms`;
    lines.push(`refused with ${status}: ${reason}${retry}`);
  }
  for (const service of explanation.services) {
    const share = (service.share * 100).toFixed(1);
    lines.push(`service ${service.service} (${share}% of the route)`);
    lines.push(`  ${decisionText(service)}`);
    for (const candidate of service.candidates)
      lines.push(`  ${candidateText(candidate)}`);
    if (service.omitted > 0)
      lines.push(`  ${service.omitted} more endpoints are not shown`);
  }
  return lines.join('\n');
}

function configurationText({
  configuration,
  configurationAgeMs,
}: Explanation): string {
  return configuration === undefined
    ? 'no configuration'
    : `configuration ${configuration}, confirmed ${configurationAgeMs} ms ago`;
}

function decisionText(service: ServiceExplanation): string {
  const {decision, reason, eligible, waiting, before = 0} = service;
  const retry = rangeText(service.retryAfterMs);
  switch (decision) {
    case 'send':
      return eligible === 1
        ? 'sent to the endpoint marked with *'
        : `sent to one of the ${eligible} endpoints marked with *, at random`;
    case 'wait':
      return (
        `waits up to ${service.waitMs} ms: ${reason}; ${waiting} requests ` +
        `wait, ${before} go first; then refused with 503: overload${retry}`
      );
    case 'refuse': {
      const part = service.quarantinedPart;
      const which = part === undefined ? '' : ` (${part})`;
      return `refused with ${service.status}: ${reason}${which}${retry}`;
    }
  }
}

function rangeText(range: DelayRange | undefined): string {
  if (!range) return '';
  const {fromMs, toMs} = range;
  const text = fromMs === toMs ? `${fromMs}` : `${fromMs} to ${toMs}`;
  return `, Retry-After ${text} ms`;
}

function candidateText(c: CandidateExplanation): string {
  const age =
    c.reportAgeMs === undefined
      ? 'no report'
      : `report ${c.reportAgeMs} ms old`;
  const facts = [
    `${c.requests} of ${c.capacity} requests`,
    age,
    ...(c.share === undefined ? [] : [`share ${c.share}`]),
    ...(c.avoidedForMs === undefined
      ? []
      : [`avoided for ${c.avoidedForMs} ms`]),
    ...(c.coldForMs === undefined ? [] : [`cold for ${c.coldForMs} ms`]),
    ...(c.ratePerS === undefined
      ? []
      : [`${c.ratePerS.toFixed(2)} requests/s of all entries`]),
    ...(c.slow ? ['slow'] : []),
    ...(c.heldTokens === undefined
      ? []
      : [`holds ${c.heldTokens} tokens, first event in ${c.firstEventMs} ms`]),
  ];
  const mark = c.eligible ? '*' : '-';
  const why = c.excludedBy === undefined ? '' : `; not used: ${c.excludedBy}`;
  return `${mark} ${c.endpoint} in ${c.zone}: ${facts.join(', ')}${why}`;
}
