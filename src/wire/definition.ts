/** The gRPC service definition, loaded from the committed descriptor. */
import {loadPackageDefinition, ServiceClientConstructor} from '@grpc/grpc-js';
import {fromJSON} from '@grpc/proto-loader';
import descriptor from './descriptor.json';

const definition = fromJSON(descriptor as Parameters<typeof fromJSON>[0], {
  longs: Number,
  defaults: true,
  arrays: true,
  oneofs: true,
});

interface Package {
  readonly boragemill: {readonly Node: ServiceClientConstructor};
}

const loaded = loadPackageDefinition(definition) as unknown as Package;

export const NodeClient = loaded.boragemill.Node;
export const nodeService = loaded.boragemill.Node.service;
