"""Run `python -m anvilcove` as the `anvilcove` command."""

from anvilcove.cli.main import run

if __name__ == '__main__':
    run()
