#ifndef WL_RECENT_H
#define WL_RECENT_H

#include "wl_command.h"
#include "wl_services.h"

/*
 * The latest changes of a services text, kept for those that missed a few of
 * them. Bounded in number and in bytes: where the changes together are larger
 * than the largest text, a whole text is the cheaper answer.
 */

enum
{
  WL_RECENT_MAX = 128,                    /* changes kept */
  WL_RECENT_BYTES = WL_SERVICES_TEXT_MAX, /* bytes kept, of all changes together */
};

/**
 * struct WlRecent - consecutive changes
 * @ring: ring; number n is at n % WL_RECENT_MAX
 * @first: lowest number kept, 0 for none
 * @last: highest number kept
 * @bytes: size of the changes kept
 */
typedef struct
{
  WlConfigChange ring[WL_RECENT_MAX];
  uint64_t first;
  uint64_t last;
  uint64_t bytes;
} WlRecent;

/**
 * wl_recent_add() - remembers a change
 * @recent: the changes
 * @change: the change; copied
 *
 * A change that does not follow the latest one replaces all of them. The oldest
 * are dropped until the bounds hold, which may be all.
 */
void wl_recent_add (WlRecent *recent, const WlConfigChange *change);

/**
 * wl_recent_find() - the change that made a number
 * @recent: the changes
 * @number: the number
 *
 * Return: the change, NULL when it is not kept.
 */
const WlConfigChange *wl_recent_find (const WlRecent *recent, uint64_t number);

/**
 * wl_recent_covers() - whether the changes lead from one number to another
 * @recent: the changes
 * @from: number of the text to start from
 * @to: number wanted, above @from
 */
int wl_recent_covers (const WlRecent *recent, uint64_t from, uint64_t to);

/** wl_recent_clear() - forgets all changes */
void wl_recent_clear (WlRecent *recent);

#endif
