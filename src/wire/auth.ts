/**
 * Authentication between processes: TLS with certificates from the settings,
 * or a shared key in the call's metadata. A peer with neither gets the status
 * UNAUTHENTICATED and nothing else.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import fs from 'node:fs';
import {
  ChannelCredentials,
  credentials,
  Metadata,
  ServerCredentials,
} from '@grpc/grpc-js';
import {PeerSettings} from '../settings/schema';

const PEER_KEY_METADATA = 'boragemill-peer-key';

/** Metadata that a client sends with each call. */
export function clientMetadata(settings: PeerSettings): Metadata {
  const metadata = new Metadata();
  if (settings.sharedKey) metadata.set(PEER_KEY_METADATA, settings.sharedKey);
  return metadata;
}

/**
 * Whether a call comes from a peer: by the shared key in its metadata or,
 * without one in the settings, by the TLS connection itself.
 */
export function isAuthenticatedPeer(
  settings: PeerSettings,
  metadata: Metadata,
): boolean {
  if (!settings.sharedKey) return settings.tls !== undefined;
  const receivedKey = metadata.get(PEER_KEY_METADATA)[0];
  if (typeof receivedKey !== 'string') return false;
  return timingSafeEqual(sha256(receivedKey), sha256(settings.sharedKey));
}

export function channelCredentials(settings: PeerSettings): ChannelCredentials {
  const {tls} = settings;
  if (!tls) return credentials.createInsecure();
  const [ca, key, cert] = readFiles([tls.caFile, tls.keyFile, tls.certFile]);
  return credentials.createSsl(ca, key, cert);
}

export function serverCredentials(settings: PeerSettings): ServerCredentials {
  const {tls} = settings;
  if (!tls) return ServerCredentials.createInsecure();
  const [ca, key, cert] = readFiles([tls.caFile, tls.keyFile, tls.certFile]);
  const keyPair = {private_key: key!, cert_chain: cert!};
  return ServerCredentials.createSsl(ca!, [keyPair], true);
}

function readFiles(files: readonly string[]): readonly Buffer[] {
  return files.map(file => fs.readFileSync(file));
}

function sha256(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
