package gingerring.traffic.scan;

import gingerring.traffic.flow.Flow;

/** One connection's bytes as messages of one protocol. */
interface Talk {
  void bytes(int side, long nanos, long taken, byte[] bytes, int at, int length);

  void gap(int side, long nanos, long missing);

  void finished(int side, long nanos);

  void closed(Flow.How how, long nanos);
}
