package gingerring.traffic.scan;

import gingerring.traffic.flow.Flow;

/** One connection's bytes as messages of one protocol. */
interface ProtocolDecoder {
  void onData(int side, long nanos, long taken, byte[] bytes, int at, int length);

  void onGap(int side, long nanos, long missing);

  void onEndOfStream(int side, long nanos);

  void onClosed(Flow.CloseReason how, long nanos);
}
