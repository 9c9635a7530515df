/**
 * Log lines about registrations.
 *
 * Guards against processes that spend their time on logs of what has not changed:
 * each read of the whole table logged every registration at every gateway.
 */
import {expect} from 'chai';
import {VirtualClock} from '../bench/support/virtualclock';
import {Endpoint} from '../src/gateway/model';
import {createDispatcher, registeredEndpoint} from './deploymentmodel';

const ENDPOINTS = 192;

describe('log of registrations', () => {
  it('has one line for each change, however often the table is read', () => {
    const logged: unknown[] = [];
    const dispatcher = createDispatcher({
      instance: 'g',
      zone: 'z',
      clock: new VirtualClock(),
      random: () => 0.5,
      log: (_, event, fields) => {
        if (event === 'endpoint') logged.push(fields?.['endpoint']);
      },
    });
    const all = new Map(
      Array.from({length: ENDPOINTS}, (_, i): [string, Endpoint] => [
        `e${i}`,
        registeredEndpoint(`e${i}`, i, 'z', 4),
      ]),
    );
    for (let read = 0; read < 10; read++) {
      dispatcher.handleEndpointChange(all, true);
    }
    expect(logged.length).to.equal(ENDPOINTS);
    const draining = new Map(all).set('e7', {
      ...all.get('e7')!,
      draining: true,
    });
    dispatcher.handleEndpointChange(draining, true);
    dispatcher.handleEndpointChange(new Map([['e8', undefined]]), false);
    dispatcher.handleEndpointChange(all, true);
    expect(logged.slice(ENDPOINTS)).to.deep.equal(['e7', 'e8', 'e7', 'e8']);
  });
});
