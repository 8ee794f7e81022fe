#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include "wl_disk.h"

enum
{
  OPEN_MAX_FILES = 4,
  NAME_SIZE = 64,
};

typedef struct
{
  char name[NAME_SIZE];
  int fd;
} OpenFile;

typedef struct
{
  WlDisk disk;
  int folder;
  int lock;
  OpenFile files[OPEN_MAX_FILES];
} Files;

static WlError
from_errno (void)
{
  if (errno == ENOSPC || errno == EDQUOT || errno == EFBIG)
    return WL_ERROR_NO_SPACE;
  return errno == ENOENT ? WL_ERROR_NOT_FOUND : WL_ERROR_SYSTEM;
}

static void
forget (Files *f, const char *name)
{
  for (int i = 0; i < OPEN_MAX_FILES; i++)
    if (f->files[i].fd >= 0 && strcmp (f->files[i].name, name) == 0)
      {
        close (f->files[i].fd);
        f->files[i].fd = -1;
      }
}

/* Returns a descriptor for appending; the descriptor stays open for later calls. */
static int
open_file (Files *f, const char *name)
{
  int slot = 0;
  for (int i = 0; i < OPEN_MAX_FILES; i++)
    {
      if (f->files[i].fd >= 0 && strcmp (f->files[i].name, name) == 0)
        return f->files[i].fd;
      if (f->files[i].fd < 0)
        slot = i;
    }
  if (f->files[slot].fd >= 0)
    close (f->files[slot].fd);
  f->files[slot].fd = openat (f->folder, name, O_CREAT | O_RDWR | O_APPEND | O_CLOEXEC, 0600);
  snprintf (f->files[slot].name, NAME_SIZE, "%s", name);
  return f->files[slot].fd;
}

static WlError
files_list (WlDisk *disk, void (*each) (void *data, const char *name), void *data)
{
  Files *f = (Files *)disk;
  int fd = openat (f->folder, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  DIR *dir = fd >= 0 ? fdopendir (fd) : NULL;
  if (dir == NULL)
    {
      if (fd >= 0)
        close (fd);
      return WL_ERROR_SYSTEM;
    }
  for (const struct dirent *e = readdir (dir); e != NULL; e = readdir (dir))
    if (e->d_name[0] != '.' && strlen (e->d_name) < NAME_SIZE)
      each (data, e->d_name);
  closedir (dir);
  return WL_OK;
}

static WlError
files_read (WlDisk *disk, const char *name, apr_pool_t *pool, WlBytes *out)
{
  Files *f = (Files *)disk;
  struct stat st;
  WlError error = WL_ERROR_SYSTEM;
  int fd = openat (f->folder, name, O_RDONLY | O_CLOEXEC);
  if (fd < 0)
    return from_errno ();
  if (fstat (fd, &st) != 0 || st.st_size > (off_t)UINT32_MAX)
    goto out;
  uint8_t *data = apr_palloc (pool, (size_t)st.st_size + 1);
  size_t used = 0;
  while (used < (size_t)st.st_size)
    {
      ssize_t n = read (fd, data + used, (size_t)st.st_size - used);
      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        goto out;
      used += (size_t)n;
    }
  *out = (WlBytes){ data, (uint32_t)used };
  error = WL_OK;
out:
  close (fd);
  return error;
}

static WlError
files_append (WlDisk *disk, const char *name, WlBytes bytes)
{
  int fd = open_file ((Files *)disk, name);
  uint32_t done = 0;
  if (fd < 0)
    return from_errno ();
  while (done < bytes.size)
    {
      ssize_t n = write (fd, bytes.data + done, bytes.size - done);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0)
        return from_errno ();
      done += (uint32_t)n;
    }
  return WL_OK;
}

static WlError
files_truncate (WlDisk *disk, const char *name, uint64_t size)
{
  int fd = open_file ((Files *)disk, name);
  if (fd < 0 || ftruncate (fd, (off_t)size) != 0)
    return from_errno ();
  return WL_OK;
}

static WlError
files_sync (WlDisk *disk, const char *name)
{
  int fd = open_file ((Files *)disk, name);
  if (fd < 0 || fdatasync (fd) != 0)
    return from_errno ();
  return WL_OK;
}

static WlError
files_rename (WlDisk *disk, const char *from, const char *to)
{
  Files *f = (Files *)disk;
  forget (f, from);
  forget (f, to);
  return renameat (f->folder, from, f->folder, to) == 0 ? WL_OK : from_errno ();
}

static WlError
files_remove (WlDisk *disk, const char *name)
{
  Files *f = (Files *)disk;
  forget (f, name);
  return unlinkat (f->folder, name, 0) == 0 ? WL_OK : from_errno ();
}

static WlError
files_sync_folder (WlDisk *disk)
{
  return fsync (((Files *)disk)->folder) == 0 ? WL_OK : from_errno ();
}

static void
files_destroy (WlDisk *disk)
{
  Files *f = (Files *)disk;
  for (int i = 0; i < OPEN_MAX_FILES; i++)
    if (f->files[i].fd >= 0)
      close (f->files[i].fd);
  if (f->lock >= 0)
    close (f->lock);
  if (f->folder >= 0)
    close (f->folder);
  free (f);
}

WlError
wl_disk_files_open (const char *path, WlDisk **out)
{
  WlError error = WL_ERROR_SYSTEM;
  Files *f = calloc (1, sizeof *f);
  if (f == NULL)
    return WL_ERROR_NO_MEMORY;
  f->disk = (WlDisk){ files_list,   files_read,   files_append,      files_truncate, files_sync,
                      files_rename, files_remove, files_sync_folder, files_destroy };
  f->folder = -1;
  f->lock = -1;
  for (int i = 0; i < OPEN_MAX_FILES; i++)
    f->files[i].fd = -1;
  if (mkdir (path, 0700) != 0 && errno != EEXIST)
    goto out;
  f->folder = open (path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (f->folder < 0)
    goto out;
  f->lock = openat (f->folder, ".lock", O_CREAT | O_RDWR | O_CLOEXEC, 0600);
  if (f->lock < 0)
    goto out;
  if (flock (f->lock, LOCK_EX | LOCK_NB) != 0)
    {
      error = WL_ERROR_LOCKED;
      goto out;
    }
  *out = &f->disk;
  return WL_OK;
out:
  files_destroy (&f->disk);
  return error;
}
