#!/bin/bash
# Makes a process run 5.5 times slower for some seconds: by turns it runs for 2 ms and stands
# still for 9 ms.
pid=$1; seconds=$2
exec 3<> <(:)
end=$((SECONDS + seconds))
while [ $SECONDS -lt $end ]; do
  micros=2000
  printf -v run '0.%06d' $micros
  printf -v stop '0.%06d' $((micros * 9 / 2))
  kill -STOP "$pid" || break
  read -rt "$stop" -u 3
  kill -CONT "$pid"
  read -rt "$run" -u 3
done
