#ifndef WL_RECENT_CHANGES_H
#define WL_RECENT_CHANGES_H

#include "wl_command.h"
#include "wl_services.h"

/*
 * The latest changes of the configuration, kept for nodes that have missed a few
 * of them. Bounded in number and in bytes: beyond the size of the largest
 * configuration, sending the full configuration is cheaper than the changes.
 */

enum
{
  WL_RECENT_CHANGES_MAX = 128,                    /* changes kept */
  WL_RECENT_CHANGES_BYTES = WL_SERVICES_TEXT_MAX, /* bytes kept, of all changes together */
};

/**
 * struct WlRecentChanges - the latest changes, numbered without gaps
 * @ring: the changes; number n is at n % WL_RECENT_CHANGES_MAX
 * @first: lowest number kept, 0 for none
 * @last: highest number kept, 0 for none
 * @bytes: size of the changes kept
 */
typedef struct
{
  WlConfigChange ring[WL_RECENT_CHANGES_MAX];
  uint64_t first;
  uint64_t last;
  uint64_t bytes;
} WlRecentChanges;

/**
 * wl_recent_changes_add() - adds a change
 * @recent: the changes
 * @change: the change; copied
 *
 * A change that does not follow the latest one replaces all others. The oldest are
 * dropped until the bounds hold; a change above WL_RECENT_CHANGES_BYTES is itself dropped.
 */
void wl_recent_changes_add (WlRecentChanges *recent, const WlConfigChange *change);

/**
 * wl_recent_changes_find() - finds the change that led to a configuration
 * @recent: the changes
 * @number: number of the configuration
 *
 * Return: the change, NULL when it is not kept.
 */
const WlConfigChange *wl_recent_changes_find (const WlRecentChanges *recent, uint64_t number);

/**
 * wl_recent_changes_cover() - whether the changes lead from one number to another
 * @recent: the changes
 * @from: number of the configuration to start from
 * @to: number of the wanted configuration
 *
 * Return: 1 or 0; 0 also when @to is not above @from.
 */
int wl_recent_changes_cover (const WlRecentChanges *recent, uint64_t from, uint64_t to);

/** wl_recent_changes_clear() - drops and frees all changes */
void wl_recent_changes_clear (WlRecentChanges *recent);

#endif
