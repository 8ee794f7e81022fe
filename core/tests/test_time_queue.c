#include <stdint.h>
#include "wl_random.h"
#include "wl_test.h"
#include "wl_time_queue.h"

/* The queue of the simulators: by time, and of one time in order of adding. */

enum
{
  ITEMS = 3000,
  TIMES = 50,
};

typedef struct
{
  uint64_t at_us;
  uint32_t number;
} Item;

START_TEST (items_come_by_time_and_then_in_order)
{
  WlTimeQueue *q = wl_time_queue_create (sizeof (Item));
  uint64_t random = 7;
  Item last = { 0, 0 };
  Item item;
  uint32_t n = 0;
  for (uint32_t i = 0; i < ITEMS; i++)
    {
      item = (Item){ wl_random_next (&random) % TIMES, i };
      wl_time_queue_add (q, item.at_us, &item);
    }
  for (; wl_time_queue_take (q, UINT64_MAX, &item); n++)
    {
      if (n > 0)
        ck_assert (item.at_us > last.at_us
                   || (item.at_us == last.at_us && item.number > last.number));
      last = item;
    }
  ck_assert_uint_eq (n, ITEMS);
  wl_time_queue_destroy (q);
}
END_TEST

START_TEST (later_items_stay)
{
  WlTimeQueue *q = wl_time_queue_create (sizeof (Item));
  Item item = { 20, 1 };
  ck_assert_int_eq (wl_time_queue_take (q, UINT64_MAX, &item), 0);
  wl_time_queue_add (q, 20, &item);
  ck_assert_int_eq (wl_time_queue_take (q, 19, &item), 0);
  ck_assert_int_eq (wl_time_queue_take (q, 20, &item), 1);
  ck_assert_int_eq (wl_time_queue_take (q, UINT64_MAX, &item), 0);
  wl_time_queue_destroy (q);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (items_come_by_time_and_then_in_order),
    WL_TEST (later_items_stay),
  };
  return wl_test_run ("time_queue", tests, sizeof tests / sizeof tests[0]);
}
