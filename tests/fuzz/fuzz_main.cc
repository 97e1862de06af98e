/* Runs a fuzz target on its corpus and on seeded mutations of it, without coverage.
 *
 * Usage: PROGRAM --runs=N --seed=N [--write-seeds=DIRECTORY] [FILE|DIRECTORY]...
 *
 * A failing input is written to "fuzz-failed" in the current directory; play it again with its path
 * as the only argument. */

#include <glib.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>

#include "fuzz.h"
extern "C"
{
#include "rng.h"
}

#define MAX_MUTATIONS 6
#define MAX_INPUT_BYTES 65536
#define FAILED_INPUT_NAME "fuzz-failed"

namespace
{
std::string current_input;

void
save_input ()
{
  FILE *file = fopen (FAILED_INPUT_NAME, "wb");
  if (file == nullptr)
    return;
  fwrite (current_input.data (), 1, current_input.size (), file);
  fclose (file);
  fprintf (stderr, "the input is in %s\n", FAILED_INPUT_NAME);
}

void
on_signal (int number)
{
  save_input ();
  signal (number, SIG_DFL);
  raise (number);
}

void
play (const std::string &input)
{
  /* A copy of the exact size lets a sanitizer see reads beyond the end. */
  current_input = input;
  std::vector<uint8_t> bytes (input.begin (), input.end ());
  LLVMFuzzerTestOneInput (bytes.data (), bytes.size ());
}

std::string
mutate (const std::vector<std::string> &corpus, rng_t *rng)
{
  static const char interesting[]
      = { 0, 1, '\r', '\n', ' ', '"', '{', '[', '9', 0x7f, (char)0x80, (char)0xff };
  std::string input = corpus[rng_next (rng) % corpus.size ()];
  uint64_t count = 1 + rng_next (rng) % MAX_MUTATIONS;
  for (uint64_t i = 0; i < count; i++)
    {
      size_t position = input.empty () ? 0 : rng_next (rng) % input.size ();
      size_t length = std::min<size_t> (1 + rng_next (rng) % 16, input.size () - position);
      switch (rng_next (rng) % 7)
        {
        case 0:
          if (!input.empty ())
            input[position] = (char)(input[position] ^ (1 << (rng_next (rng) % 8)));
          break;
        case 1:
          if (!input.empty ())
            input[position] = interesting[rng_next (rng) % sizeof (interesting)];
          break;
        case 2:
          input.erase (position, length);
          break;
        case 3:
          input.insert (position, input.substr (position, length));
          break;
        case 4:
          input.insert (position, 1, interesting[rng_next (rng) % sizeof (interesting)]);
          break;
        case 5:
          input.resize (position);
          break;
        case 6:
          {
            const std::string &other = corpus[rng_next (rng) % corpus.size ()];
            if (!other.empty ())
              input = input.substr (0, position) + other.substr (rng_next (rng) % other.size ());
            break;
          }
        }
    }
  input.resize (std::min<size_t> (input.size (), MAX_INPUT_BYTES));
  return input;
}

void
read_file (const char *path, std::vector<std::string> *corpus)
{
  g_autofree char *text = nullptr;
  gsize size = 0;
  if (!g_file_get_contents (path, &text, &size, nullptr))
    {
      fprintf (stderr, "cannot read %s\n", path);
      exit (2);
    }
  corpus->emplace_back (text, size);
}

void
read_path (const char *path, std::vector<std::string> *corpus)
{
  g_autoptr (GDir) dir = g_dir_open (path, 0, nullptr);
  if (dir == nullptr)
    {
      read_file (path, corpus);
      return;
    }
  std::vector<std::string> names;
  while (const char *name = g_dir_read_name (dir))
    names.emplace_back (name);
  std::sort (names.begin (), names.end ()); // the runs of a seed do not depend on the file system
  for (const std::string &name : names)
    read_file ((std::string (path) + "/" + name).c_str (), corpus);
}

void
write_seeds (const char *directory)
{
  unsigned number = 0;
  for (const std::string &seed : fuzz_seeds ())
    {
      std::string path = std::string (directory) + "/seed-" + std::to_string (number++);
      if (!g_file_set_contents (path.c_str (), seed.data (), (gssize)seed.size (), nullptr))
        exit (2);
    }
}
}

int
main (int argc, char **argv)
{
  uint64_t runs = 0;
  uint64_t seed = 1;
  std::vector<std::string> corpus;
  bool has_paths = false;
  for (int i = 1; i < argc; i++)
    {
      if (sscanf (argv[i], "--runs=%" G_GUINT64_FORMAT, &runs) == 1
          || sscanf (argv[i], "--seed=%" G_GUINT64_FORMAT, &seed) == 1)
        continue;
      if (g_str_has_prefix (argv[i], "--write-seeds="))
        {
          write_seeds (strchr (argv[i], '=') + 1);
          return 0;
        }
      has_paths = true;
      read_path (argv[i], &corpus);
    }
  if (!has_paths || runs > 0) // without runs, the given files are played alone
    for (const std::string &input : fuzz_seeds ())
      corpus.push_back (input);
  signal (SIGABRT, on_signal);
  signal (SIGSEGV, on_signal);
  rng_t rng;
  rng_init (&rng, seed);
  for (const std::string &input : corpus)
    play (input);
  for (uint64_t run = 0; run < runs; run++)
    play (mutate (corpus, &rng));
  printf ("inputs=%zu runs=%" G_GUINT64_FORMAT " seed=%" G_GUINT64_FORMAT "\n", corpus.size (),
          runs, seed);
  return 0;
}
