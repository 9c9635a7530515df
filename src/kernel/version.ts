/** The release of this binary; the build replaces it with a string. */
declare const BORAGEMILL_VERSION: string | undefined;

export const version =
  typeof BORAGEMILL_VERSION === 'string' ? BORAGEMILL_VERSION : 'development';
