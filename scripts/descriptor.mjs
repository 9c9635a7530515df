/** Generates src/wire/descriptor.json from src/wire/node.proto. */
import fs from 'node:fs';
import protobuf from 'protobufjs';

const source = fs.readFileSync('src/wire/node.proto', 'utf8');
const {root} = protobuf.parse(source, {keepCase: false});
const text = JSON.stringify(root.toJSON(), null, 1) + '\n';
if (process.argv.includes('--check')) {
  const committed = fs.readFileSync('src/wire/descriptor.json', 'utf8');
  if (committed !== text) {
    console.error('descriptor.json is stale: run node scripts/descriptor.mjs');
    process.exit(1);
  }
} else {
  fs.writeFileSync('src/wire/descriptor.json', text);
}
