package gingerring.traffic.scan;

import gingerring.traffic.flow.Flow;

/** Decodes the bytes of one connection into messages of one protocol. */
interface ProtocolDecoder {
  void onData(
      int side,
      long timestampNanos,
      long acknowledgedPeerBytes,
      byte[] bytes,
      int offset,
      int length);

  void onGap(int side, long timestampNanos, long missingBytes);

  void onEndOfStream(int side, long timestampNanos);

  void onClosed(Flow.CloseReason reason, long timestampNanos);
}
