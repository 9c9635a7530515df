/**
 * Parses model requests and derives what routing needs from them.
 *
 * Only the engine has the tokenizer, so the entry estimates the length of a
 * prompt from its bytes. The prompt is hashed in blocks, each hash continuing
 * that of the block before, so the hash of a block identifies the prefix up to
 * its end.
 */
import {crc32} from 'node:zlib';
import {Err, Ok, Result} from 'ts-results';
import {z} from 'zod';
import {Fault, createFault} from '../kernel/errors';

/** The API that a caller used for a model; it sets the format of the answer. */
export type ModelApi = 'chat' | 'completion';

export interface ModelCall {
  readonly api: ModelApi;
  readonly model: string;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly prefixHashes: readonly number[];
  readonly stream: boolean;
  readonly user: string;
}

/** Estimated mean length of a token. */
const BYTES_PER_TOKEN = 4;
/** Length of a hashed block of a prompt. */
const BLOCK_BYTES = 256;
const MAX_BLOCKS = 16;

const commonFields = {
  model: z.string(),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().min(1).optional(),
  max_completion_tokens: z.number().int().min(1).optional(),
  user: z.string().default(''),
};

const contentPart = z.object({type: z.string(), text: z.string().default('')});

const chatSchema = z.object({
  ...commonFields,
  messages: z
    .array(
      z.object({
        role: z.string(),
        content: z.union([z.string(), z.array(contentPart)]),
      }),
    )
    .min(1),
});

const completionSchema = z.object({...commonFields, prompt: z.string()});

/**
 * Validates the JSON body of a model request. `maxOutputOf` returns the output
 * limit of a model in tokens, or undefined if there is no such model.
 */
export function parseModelCall(
  api: ModelApi,
  body: unknown,
  maxOutputOf: (model: string) => number | undefined,
): Result<ModelCall, Fault> {
  const parsed =
    api === 'chat'
      ? chatSchema.safeParse(body)
      : completionSchema.safeParse(body);
  if (!parsed.success) return Err(malformedFault(parsed.error));
  const {data} = parsed;
  const limit = maxOutputOf(data.model);
  if (limit === undefined) {
    const message = `unknown model "${data.model}"; see GET /v1/models`;
    return Err(createFault('unknown_target', message));
  }
  const requestedTokens =
    data.max_completion_tokens ?? data.max_tokens ?? limit;
  const prompt = 'prompt' in data ? data.prompt : renderChat(data.messages);
  return Ok({
    api,
    model: data.model,
    prompt,
    promptTokens: Math.ceil(Buffer.byteLength(prompt) / BYTES_PER_TOKEN),
    maxOutputTokens: Math.min(requestedTokens, limit),
    prefixHashes: blockHashes(prompt),
    stream: data.stream,
    user: data.user,
  });
}

function malformedFault(error: z.ZodError): Fault {
  const issue = error.issues[0];
  const where = issue?.path.join('.') || 'body';
  return createFault(
    'malformed',
    `${where}: ${issue?.message}; correct the body`,
  );
}

function renderChat(messages: z.infer<typeof chatSchema>['messages']): string {
  return messages.map(m => `${m.role}: ${textOf(m.content)}\n`).join('');
}

function textOf(content: string | readonly {readonly text: string}[]): string {
  if (typeof content === 'string') return content;
  return content.map(p => p.text).join('');
}

/** Chained hashes of the prompt's first whole blocks. */
export function blockHashes(prompt: string): readonly number[] {
  const bytes = Buffer.from(prompt);
  const blocks = Math.min(MAX_BLOCKS, Math.floor(bytes.length / BLOCK_BYTES));
  const hashes: number[] = [];
  let last = 0;
  for (let i = 0; i < blocks; i++) {
    const block = bytes.subarray(i * BLOCK_BYTES, (i + 1) * BLOCK_BYTES);
    last = crc32(block, last);
    hashes.push(last);
  }
  return hashes;
}
